package extendedquery

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// Any messages in any order, cut anywhere, leave the connection in step: what is asked behind them is answered, and
// no job runs more often than it was executed.
func TestRandomOrders(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	w := start(t, db)
	rng := rand.New(rand.NewPCG(11, 12))
	for round := range 150 {
		id := fmt.Sprintf("job%d", round)
		executes := 0
		var p []byte
		for range 1 + rng.IntN(14) {
			name := []string{"", "s", "t"}[rng.IntN(3)]
			switch rng.IntN(9) {
			case 0:
				p = append(p, prepare(name, sql(id, "job", 2500))...)
			case 1, 2:
				p = append(p, prepare(name, sql("look"+id, "look", 2500))...)
			case 3, 4:
				p = pgwire.AppendBind(p, pgwire.BindMessage{Portal: name, Statement: name, Rest: values})
			case 5:
				p = pgwire.AppendTarget(p, "DC"[rng.IntN(2)], "SP"[rng.IntN(2)], name)
			case 6, 7:
				p = pgwire.AppendExecute(p, name, 0)
				executes++
			case 8:
				p = pgwire.Append(p, "HSS"[rng.IntN(3)])
			}
		}
		p = pgwire.AppendQuery(pgwire.Append(p, 'S'), "SELECT 'the end'")
		c := testserver.Dial(t, w.addr)
		for len(p) > 0 {
			n := 1 + rng.IntN(len(p))
			c.Send(p[:n])
			p = p[n:]
		}
		for {
			a := c.Until('Z')
			if strings.Count(a.Types, "E") > 1 {
				t.Fatalf("round %d: more than one error in a unit: %+v", round, a)
			}
			if a.Code == pgwire.BadStatement {
				break
			}
			if a.Ended || a.Code == pgwire.UnknownOutcome || a.Code == pgwire.TooManyConnections {
				t.Fatalf("round %d: %+v", round, a)
			}
		}
		if runs := db.Runs(id); runs > executes {
			t.Fatalf("round %d: %d runs for %d executions", round, runs, executes)
		}
		c.Close()
	}
}
