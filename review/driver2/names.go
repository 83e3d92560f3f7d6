package main

import (
	"fmt"
	"strings"
	"time"

	"limeladder/internal/pgwire"
)

const (
	badCommands = 100     // of one bad client
	badNameSize = 500_000 // bytes of a statement's name: 50 MB in all
)

// namesExhaustMemory: a bad client of the extended front prepares some hundreds of statements with long names.
func namesExhaustMemory(w *world) error {
	_, list, err := w.newBank("s-1", "s-2", "s-3", "s-4")
	if err != nil {
		return err
	}
	extended, err := freeAddress()
	if err != nil {
		return err
	}
	r, err := w.newRouter("n1", list.addr, "[extended]\nlisten = \""+extended+"\"\n")
	if err != nil {
		return err
	}
	r.memoryMB = memoryLimit
	if err := r.start(); err != nil {
		return err
	}
	if !w.servesReads(r, "before", 10) {
		return errNotServed
	}
	watch := r.enforceMemory()
	if err := w.prepareStatements(extended); err != nil {
		w.logf("bad client: %v", err)
	}
	time.Sleep(2 * time.Second)
	served := w.servesReads(r, "after", 10)
	return w.judgeMemory(watch, served)
}

// prepareStatements is the bad client: it sends Parse messages, each followed by Sync, and reads what it is sent.
func (w *world) prepareStatements(address string) error {
	c, err := dialClient(address)
	if err != nil {
		return err
	}
	defer c.close()
	size := badNameSize
	if !w.trouble {
		size = 16
	}
	w.logf("bad client: sends %d Parse messages with names of %d bytes", badCommands, size)
	answers := map[string]int{}
	for i := range badCommands {
		name := fmt.Sprintf("%016d", i) + strings.Repeat("n", size-16)
		message := pgwire.AppendParse(nil, pgwire.ParseMessage{
			Name: name, Query: statement(fmt.Sprintf("bad-%d", i), "audit-report", time.Second),
		})
		if err := c.send(pgwire.Append(message, 'S')); err != nil {
			return fmt.Errorf("after %d messages: %w", i, err)
		}
		got := c.until('Z', 5*time.Second)
		if got.end != nil {
			return fmt.Errorf("after %d messages: %s", i, got)
		}
		answers[got.types+" "+got.code]++
	}
	w.logf("bad client: all sent, answers %v; it stays connected for 2 s", answers)
	time.Sleep(2 * time.Second)
	return nil
}
