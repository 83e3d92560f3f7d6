package main

import (
	"errors"
	"time"

	"limeladder/internal/pgwire"
)

// errFirstJob is returned if a job without a pause is not served.
var errFirstJob = errors.New("the stand-ins do not serve the first job")

// extendedShutdown: a client sends a job in parts, its Execute before and its Sync behind a planned restart.
func extendedShutdown(w *world) error {
	machines, list, err := w.newBank("s-1", "s-2", "s-3", "s-4")
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
	if err := r.start(); err != nil {
		return err
	}
	c, err := dialClient(extended)
	if err != nil {
		return err
	}
	defer c.close()
	if got := sendInParts(w, c, "job-1", 0, nil); got.end != nil || got.code != "" {
		w.logf("the first job, without a pause, is not served: %s", got)
		return errFirstJob
	}
	got := sendInParts(w, c, "job-2", time.Second, func() {
		if w.trouble {
			_ = r.terminate() // a failure shows, since the router then goes on
		}
	})
	hits := machines[0].received()
	w.logf("the primary has run %d jobs", len(hits))
	if w.trouble {
		if err := r.waitEnded(10 * time.Second); err != nil {
			return err
		}
	}
	if got.end != nil && got.code == "" {
		return brokenf("job-2 was taken with its Execute and got no answer: the client read %s", got)
	}
	return nil
}

// sendInParts sends Parse, Bind and Execute of a job in one part, and Sync a while later. between is called a moment
// after the first part.
func sendInParts(w *world, c *client, id string, pause time.Duration, between func()) answer {
	part := pgwire.AppendParse(nil, pgwire.ParseMessage{Query: statement(id, writeClass, 3*time.Second)})
	part = pgwire.AppendBind(part, pgwire.BindMessage{Rest: []byte{0, 0, 0, 0, 0, 0}})
	part = pgwire.AppendExecute(part, "", 0)
	if err := c.send(part); err != nil {
		return answer{end: err}
	}
	w.logf("client: sent Parse, Bind and Execute of %s", id)
	if between != nil {
		time.Sleep(100 * time.Millisecond)
		between()
	}
	time.Sleep(pause)
	err := c.send(pgwire.Append(nil, 'S'))
	w.logf("client: sent Sync of %s, error %v", id, err)
	got := c.until('Z', 4*time.Second)
	w.logf("client: %s: %s", id, got)
	return got
}
