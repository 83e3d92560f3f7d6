package parser

import (
	"bytes"
	"errors"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// grammar is the grammar of RFC 5424, section 6, for a parser library. The tests compare Message.Read with it.
type grammar struct {
	p *participle.Parser[grammarMessage]
}

type grammarMessage struct {
	Pri   string           `parser:"@Pri Version Space"`
	Time  string           `parser:"(@Time | Nil) Space"`
	Host  string           `parser:"(@Word | Nil) Space"`
	App   string           `parser:"(@Word | Nil) Space"`
	Proc  string           `parser:"(@Word | Nil) Space"`
	ID    string           `parser:"(@Word | Nil) Space"`
	Elems []grammarElement `parser:"(@@+ | Nil)"`
	Text  *string          `parser:"@Text?"`
}

type grammarElement struct {
	ID     string         `parser:"Open @Name"`
	Params []grammarParam `parser:"@@* Close"`
}

type grammarParam struct {
	Name  string `parser:"Blank @Name Is"`
	Value string `parser:"@Value"`
}

func newGrammar(tb testing.TB) *grammar {
	tb.Helper()
	name := `[!#-<>-\\^-~]{1,32}`
	// NILVALUE is a single -; a longer field may start with one.
	word := func(next string) []lexer.Rule {
		return []lexer.Rule{{Name: "Word", Pattern: `[!-~]{2,}|[!-,.-~]`}, {Name: "Nil", Pattern: `-`}, {Name: "Space", Pattern: ` `, Action: lexer.Push(next)}}
	}
	lex, err := lexer.New(lexer.Rules{
		"Root":     {{Name: "Pri", Pattern: `<(0|[1-9][0-9]?|1[0-8][0-9]|19[01])>`, Action: lexer.Push("Version")}},
		"Version":  {{Name: "Version", Pattern: `1`}, {Name: "Space", Pattern: ` `, Action: lexer.Push("Time")}},
		"Time":     {{Name: "Time", Pattern: `[0-9]{4}-(0[1-9]|1[0-2])-(0[1-9]|[12][0-9]|3[01])T([01][0-9]|2[0-3]):[0-5][0-9]:[0-5][0-9](\.[0-9]{1,6})?(Z|[+-]([01][0-9]|2[0-3]):[0-5][0-9])`}, {Name: "Nil", Pattern: `-`}, {Name: "Space", Pattern: ` `, Action: lexer.Push("Host")}},
		"Host":     word("App"),
		"App":      word("Proc"),
		"Proc":     word("ID"),
		"ID":       word("Data"),
		"Data":     {{Name: "Nil", Pattern: `-`, Action: lexer.Push("End")}, {Name: "Open", Pattern: `\[`, Action: lexer.Push("SDID")}},
		"SDID":     {{Name: "Name", Pattern: name, Action: lexer.Push("Params")}},
		"Params":   {{Name: "Blank", Pattern: ` `, Action: lexer.Push("Param")}, {Name: "Close", Pattern: `\]`, Action: lexer.Push("Elements")}},
		"Param":    {{Name: "Name", Pattern: name}, {Name: "Is", Pattern: `=`}, {Name: "Value", Pattern: `"(?:[^"\\\]]|\\["\\\]])*"`, Action: lexer.Push("Params")}},
		"Elements": {{Name: "Open", Pattern: `\[`, Action: lexer.Push("SDID")}, {Name: "Text", Pattern: `(?s) .*`}},
		"End":      {{Name: "Text", Pattern: `(?s) .*`}},
	})
	if err != nil {
		tb.Fatal(err)
	}
	p, err := participle.Build[grammarMessage](participle.Lexer(lex))
	if err != nil {
		tb.Fatal(err)
	}
	return &grammar{p}
}

// check returns an error if a message violates the grammar, or a rule that the grammar does not express: existing days,
// length limits, unique and registered names, encodings.
func (g *grammar) check(p []byte) error {
	m, err := g.p.ParseBytes("", p)
	if err != nil {
		return err
	}
	if m.Time != "" {
		if _, err := time.Parse(time.RFC3339Nano, m.Time); err != nil {
			return err
		}
	}
	if len(m.Host) > 255 || len(m.App) > 48 || len(m.Proc) > 128 || len(m.ID) > 32 {
		return errors.New("a field is too long")
	}
	seen := map[string]bool{}
	for _, e := range m.Elems {
		if seen[e.ID] {
			return errors.New("duplicate SD-ID")
		}
		seen[e.ID] = true
		if err := checkElementID([]byte(e.ID)); err != nil {
			return err
		}
		x := Element{ID: []byte(e.ID)}
		for _, q := range e.Params {
			v := []byte(q.Value[1 : len(q.Value)-1])
			if !utf8.Valid(v) {
				return errors.New("not valid UTF-8")
			}
			x.Params = append(x.Params, Param{[]byte(q.Name), unescape(v)})
		}
		if err := checkRegisteredParams(&x); err != nil {
			return err
		}
	}
	if m.Text != nil {
		if text, marked := bytes.CutPrefix([]byte(*m.Text), []byte(" \xef\xbb\xbf")); marked && !utf8.Valid(text) {
			return errors.New("not valid UTF-8")
		}
	}
	return nil
}
