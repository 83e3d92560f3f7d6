package frontend

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// FuzzPipeline tests pipelined messages in any order, split at any point and answered in any order: each request gets
// one response, in order, and its deadline runs from its arrival.
func FuzzPipeline(f *testing.F) {
	f.Add(uint64(1), []byte("wwff"))
	f.Add(uint64(2), []byte("fffwsfoBSfxf"))
	f.Add(uint64(3), bytes.Repeat([]byte("fsfw"), 25))
	f.Add(uint64(4), []byte("ooBBSSo"))
	f.Fuzz(func(t *testing.T, seed uint64, kinds []byte) {
		if len(kinds) > 120 {
			return
		}
		frontend, fake, loop, addr := start(t)
		runInLoop(loop, frontend.SetReady)
		before := loop.Now() // one piece may share the arrival time of an earlier one
		client := testserver.Dial(t, addr)
		messages, want, requestCount := pipelinedMessages(kinds)
		go writeInPieces(client, messages, rand.New(rand.NewPCG(seed, 1)))
		answered := make(chan error, 1)
		go func() { answered <- serveOneByOne(fake, rand.New(rand.NewPCG(seed, 2)), requestCount) }()
		expectResponses(t, client, want...)
		if err := <-answered; err != nil {
			t.Fatal(err)
		}
		runInLoop(loop, func() {
			for _, request := range fake.requests {
				if request.ReceivedAt < before || request.ReceivedAt > loop.Now() {
					t.Errorf("request %s has arrival time %v, before the connection or in the future",
						request.ClientRequestID, request.ReceivedAt)
				}
			}
		})
	})
}

// pipelinedMessages returns the messages that the kinds encode, the responses to expect, and how many of the messages
// are requests that the router accepts. Kind f is a read of class any, w a write, s a read of class latest, o a request
// of an unknown class and S a SET. Any other kind is an empty query.
func pipelinedMessages(kinds []byte) (messages []byte, want []string, requestCount int) {
	classes := map[byte]string{'f': "any", 'w': "write", 's': "latest"}
	for i, kind := range kinds {
		id := fmt.Sprintf("r%03d", i)
		switch kind {
		case 'f', 'w', 's':
			messages = append(messages, queryWithID(id, classes[kind])...)
			want = append(want, id)
			requestCount++
		case 'o':
			messages = append(messages, queryWithID(id, "unknown")...)
			want = append(want, "42601")
		case 'S':
			messages = append(messages, pgwire.AppendQuery(nil, "SET a = 1")...)
			want = append(want, "42601")
		default:
			messages = append(messages, pgwire.AppendQuery(nil, " ")...)
			want = append(want, "")
		}
	}
	return messages, want, requestCount
}

func writeInPieces(client *testserver.Client, messages []byte, random *rand.Rand) {
	for len(messages) > 0 {
		count := 1 + random.IntN(min(len(messages), 1+random.IntN(200)))
		if client.Write(messages[:count]) != nil {
			return
		}
		messages = messages[count:]
	}
}

// serveOneByOne serves requestCount requests, each time a random one of those that are open.
func serveOneByOne(fake *fakeRouter, random *rand.Rand, requestCount int) error {
	var open []string
	seen := 0
	for served := 0; served < requestCount; {
		ids := fake.acceptedIDs()
		open = append(open, ids[seen:]...)
		seen = len(ids)
		if seen > requestCount {
			return errors.New("a request was accepted twice")
		}
		if len(open) == 0 {
			time.Sleep(50 * time.Microsecond)
			continue
		}
		i := random.IntN(len(open))
		fake.serve(open[i])
		open = slices.Delete(open, i, i+1)
		served++
	}
	return nil
}
