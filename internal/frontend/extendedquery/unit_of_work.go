package extendedquery

import (
	"strings"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/frontend"
	"limeladder/internal/pgwire"
)

// Messages implements servers.Job: the statement is prepared anew on whichever db machine the attempt goes to, and
// Sync stands behind it, so that nothing of it outlives the attempt.
func (w *unitOfWork) Messages(left time.Duration) []byte {
	p := w.statement.ParseMessage
	p.Name, p.Query = "", w.statement.comment.WithDeadline(p.Query, left)
	out := pgwire.AppendParse(nil, p)
	if w.portal == nil {
		out = pgwire.AppendTarget(out, 'D', 'S', "")
		return pgwire.Append(out, 'S')
	}
	out = pgwire.AppendBind(out, pgwire.BindMessage{Rest: w.portal.bindRest})
	if w.describe {
		out = pgwire.AppendTarget(out, 'D', 'P', "")
	}
	if w.execute {
		out = pgwire.AppendExecute(out, "", w.maxRows)
	}
	return pgwire.Append(out, 'S')
}

// Size is what it keeps, in bytes.
func (w *unitOfWork) Size() int {
	n := len(w.statement.Query)
	if w.portal != nil {
		n += len(w.portal.bindRest)
	}
	return n
}

// Whole implements servers.Job.
func (w *unitOfWork) Complete(a *backend.Response) bool {
	rest, ok := strings.CutPrefix(string(a.Types), "1")
	if !ok {
		return false
	}
	if w.portal == nil {
		return rest == "tT" || rest == "tn"
	}
	if rest, ok = strings.CutPrefix(rest, "2"); !ok {
		return false
	}
	if w.describe {
		if rest == "" || rest[0] != 'T' && rest[0] != 'n' {
			return false
		}
		rest = rest[1:]
	}
	if !w.execute {
		return rest == ""
	}
	rest = strings.TrimLeft(rest, "D")
	return rest == "C" || rest == "s" || rest == "I"
}

// Begins implements servers.Job.
func (w *unitOfWork) StartsResponse(a *backend.Response) bool {
	want := "12"
	if w.describe {
		want = "12T"
	}
	return w.execute && strings.TrimRight(string(a.Types), "D") == want
}

// rows is a simple query that may give any number of rows, or none.
type simpleQueryJob struct{ *frontend.SimpleQuery }

// Whole implements servers.Job.
func (r simpleQueryJob) Complete(a *backend.Response) bool {
	rest, described := strings.CutPrefix(string(a.Types), "T")
	if described {
		rest = strings.TrimLeft(rest, "D")
	}
	return rest == "C" && r.MatchesTag(a.Shape.Tag)
}

// Begins implements servers.Job.
func (r simpleQueryJob) StartsResponse(a *backend.Response) bool {
	return strings.TrimRight(string(a.Types), "D") == "T"
}
