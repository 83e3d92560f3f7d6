package extendedquery

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// Any messages in any order, split at any point, leave the connection in sync: a query after them is answered, and no
// write runs more often than it was executed.
func TestMessagesInRandomOrder(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	server := start(t, db)
	rng := rand.New(rand.NewPCG(11, 12))
	for round := range 150 {
		id := fmt.Sprintf("write%d", round)
		executes := 0
		var messages []byte
		for range 1 + rng.IntN(14) {
			name := []string{"", "s", "t"}[rng.IntN(3)]
			switch rng.IntN(9) {
			case 0:
				messages = append(messages, prepare(name, statementText(id, "write", 2500))...)
			case 1, 2:
				messages = append(messages, prepare(name, statementText("read"+id, "read", 2500))...)
			case 3, 4:
				messages = pgwire.AppendBind(messages, pgwire.BindMessage{Portal: name, Statement: name, Rest: bindValues})
			case 5:
				messages = pgwire.AppendTarget(messages, "DC"[rng.IntN(2)], "SP"[rng.IntN(2)], name)
			case 6, 7:
				messages = pgwire.AppendExecute(messages, name, 0)
				executes++
			case 8:
				messages = pgwire.Append(messages, "HSS"[rng.IntN(3)])
			}
		}
		messages = pgwire.AppendQuery(pgwire.Append(messages, 'S'), "SELECT 'the end'")
		client := testserver.Dial(t, server.addr)
		for len(messages) > 0 {
			n := 1 + rng.IntN(len(messages))
			client.Send(messages[:n])
			messages = messages[n:]
		}
		for {
			answer := client.Until('Z')
			if strings.Count(answer.Types, "E") > 1 {
				t.Fatalf("round %d: more than one error in a unit: %+v", round, answer)
			}
			if answer.Code == pgwire.SyntaxError {
				break
			}
			if answer.Ended || answer.Code == pgwire.UnknownOutcome || answer.Code == pgwire.TooManyConnections {
				t.Fatalf("round %d: response %+v, want a served request or a rejection of a message", round, answer)
			}
		}
		if runs := db.Runs(id); runs > executes {
			t.Fatalf("round %d: write ran %d times for %d Execute messages", round, runs, executes)
		}
		client.Close()
	}
}
