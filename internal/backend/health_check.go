package backend

import (
	"math"
	"strconv"
	"strings"
	"time"

	"limeladder/balance"
	"limeladder/internal/pgwire"
)

// probe asks for a load report.
type healthCheck struct{}

func (healthCheck) Messages(time.Duration) []byte { return pgwire.AppendQuery(nil, "SHOW stats") }

func (healthCheck) Complete(response *Response) bool {
	return string(response.Types) == "TDC" && response.Shape.Columns == 1
}

// Begins implements Job: no report is long.
func (healthCheck) StartsResponse(*Response) bool { return false }

// report reads role, position and use from a report such as x0=1767225600.123,x1=0,util=0.61. Of one that can't be read to
// its end nothing is believed.
func parseLoadReport(response *Response) (role balance.Role, pos time.Duration, use float64) {
	r := pgwire.NewReader(len(response.Messages)+5, 0)
	r.Feed(response.Messages)
	for {
		message, ok, err := r.Next()
		if !ok || err != nil {
			return role, pos, use
		}
		if message.Type != 'D' {
			continue
		}
		row, err := pgwire.Row(message.Body)
		if err != nil {
			return role, pos, use
		}
		for _, value := range row {
			text := strings.Trim(string(value), "{} ")
			for _, part := range strings.Split(text, ",") {
				part = strings.NewReplacer(`"`, "", ":", "=", " ", "").Replace(part)
				name, figure, _ := strings.Cut(part, "=")
				v, err := strconv.ParseFloat(figure, 64)
				if err != nil || math.IsNaN(v) || v < 0 || v > 1e10 {
					return balance.RoleUnknown, 0, 0
				}
				switch name {
				case "x0":
					// The report is exact to the millisecond; a float64 of this size is off by far less.
					pos = time.Duration(math.Floor(v*1e3+1e-3)) * time.Millisecond
				case "util":
					use = v
				case "x1":
					switch v {
					case 0:
						role = balance.RoleReplica
					case 1:
						role = balance.RolePrimary
					default:
						return balance.RoleUnknown, 0, 0
					}
				}
			}
		}
	}
}
