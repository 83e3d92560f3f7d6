// Command simadapter hosts instances of the decision module behind the simulator's JSON pipe: a batch a line in, a
// reply a line out.
//
// It owns the running instances and nothing else: package simprotocol knows the pipe's form and package balance
// decides. It has no clock, since each batch carries its time, and one goroutine.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// readBuffer holds a usual batch; longer lines are read all the same.
const readBuffer = 1 << 20

// run answers each line until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, readBuffer)
	writer := bufio.NewWriter(out)
	h := newHost()
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if len(line) == 0 {
			return nil
		}
		reply, err := h.answer(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if _, err := writer.Write(append(reply, '\n')); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}
