// Command simadapter runs instances of the decision module for the simulator. It reads one JSON batch per line from the
// standard input and writes one JSON reply per line to the standard output.
//
// It only manages the running instances: package simprotocol implements the protocol, and package balance makes the
// decisions. It uses no clock, since each batch has a timestamp, and runs in a single goroutine.
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

// readBufferSize is the size in bytes of the input buffer. It holds a typical batch; longer lines are read as well.
const readBufferSize = 1 << 20

// run replies to each line of in until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, readBufferSize)
	writer := bufio.NewWriter(out)
	h := newHost()
	for lineNumber := 1; ; lineNumber++ {
		line, err := reader.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		if len(line) == 0 {
			return nil
		}
		reply, err := h.handleLine(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		if _, err := writer.Write(append(reply, '\n')); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}
