package sitefailover

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// two is a bank over two sites with its primary in n, and one wholly inside s.
func two() Input {
	return Input{
		Members: []Member{
			{ID: "a", Site: "n", Bank: 1, Primary: true, Up: true, Carry: 3}, {ID: "b", Site: "s", Bank: 1, Up: true, Carry: 3}, {ID: "c", Site: "s", Bank: 1, Up: true, Carry: 3},
			{ID: "d", Site: "s", Bank: 2, Primary: true, Up: true, Carry: 3},
		},
		Demands: []Demand{
			{Class: "write", Bank: 1, Rate: 20, Work: 0.1, Worth: 6, Strong: true},
			{Class: "view", Bank: 1, Rate: 40, Work: 0.1, Worth: 3},
			{Class: "history", Bank: 1, Rate: 10, Work: 0.1, Worth: 1},
			{Class: "write", Bank: 2, Rate: 1, Work: 0.1, Worth: 6, Strong: true},
		},
	}
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s is %v, not %v", what, got, want)
	}
}

// By hand: with s lost, 2.85 s of work a second are left in bank 1 for 7; writes need 2 of it, reads of most worth the rest.
func TestPlanByHand(t *testing.T) {
	plans := Make(two())
	if len(plans) != 2 || plans[0].Site != "n" || plans[1].Site != "s" {
		t.Fatalf("%+v", plans)
	}
	s := plans[1]
	if len(s.Banks) != 2 || s.Banks[0].LosesPrimary || s.Banks[0].None || s.Banks[0].Successor != "a" || !s.Banks[1].None || s.Banks[1].Successor != "" {
		t.Fatalf("%+v", s.Banks)
	}
	near(t, "the primary's use", s.Banks[0].Primary, 0.95)
	// 2 % of history (0.02) go through whatever they are worth; views have 2.85 - 2 - 0.02 = 0.83 of 4.
	if len(s.Refused) != 3 || s.Refused[0].Class != "history" || s.Refused[1].Class != "view" || s.Refused[2].Bank != 2 || s.Refused[0].Where != "primary" {
		t.Fatalf("%+v", s.Refused)
	}
	near(t, "history refused", s.Refused[0].Share, 0.98)
	near(t, "views refused", s.Refused[1].Share, 1-0.83/4)
	near(t, "writes of bank 2 refused", s.Refused[2].Share, 1)
	near(t, "worth kept", s.Kept, (20*6+40*3*0.83/4+10*0.02)/(20*6+40*3+10+6))
	near(t, "worth now", s.Now, 1)

	n := plans[0] // its loss takes the primary: a replica leads, the other one has 2.85 for 5 of reads, the new primary 0.85 beside its writes
	if b := n.Banks[0]; len(n.Banks) != 1 || !b.LosesPrimary || b.Successor != "b" {
		t.Fatalf("%+v", n.Banks)
	}
	if len(n.Refused) != 2 || n.Refused[0].Class != "history" || n.Refused[1].Class != "view" {
		t.Fatalf("%+v", n.Refused)
	}
	near(t, "views refused", n.Refused[1].Share, 1-(2.85+0.85-0.02)/4)
	moved := 0.0
	for _, m := range n.Moves {
		if m.From != "a" || m.Bank != 1 {
			t.Errorf("%+v", m)
		}
		moved += m.Work
	}
	// What a did, 2 of writes: b and c were busy with 5 of reads at 5.7, and take what fits.
	if moved <= 0 || moved > 2+1e-6 {
		t.Errorf("%v of work moves", moved)
	}
	var out strings.Builder
	if err := Table(&out, plans); err != nil || !strings.Contains(out.String(), "none: wholly inside") || !strings.Contains(out.String(), "b (successor)") || !strings.Contains(out.String(), "refused 1.: bank 1 history at the primary, 98%, 9.8 a second") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// Without sites, machines or demand there is a plan too: of nothing.
func TestPlansOfNothing(t *testing.T) {
	if p := Make(Input{}); len(p) != 0 {
		t.Errorf("%+v", p)
	}
	var out strings.Builder
	if Table(&out, nil); !strings.Contains(out.String(), "no sites") {
		t.Error(out.String())
	}
	p := Make(Input{Members: []Member{{ID: "a", Bank: 1, Up: true, Carry: 1}, {ID: "b", Bank: 1, Up: true, Carry: 1}}, Demands: []Demand{{Class: "x", Bank: 1, Rate: 1, Work: 0.1, Worth: 1}}})
	if len(p) != 1 || p[0].Site != "" || !p[0].Banks[0].None || p[0].Kept != 0 {
		t.Errorf("without zones all stand in one site: %+v", p)
	}
	p = Make(Input{Members: []Member{{ID: "a", Site: "n", Bank: 1, Up: true, Carry: 1}, {ID: "b", Site: "s", Bank: 1, Carry: 1}}})
	if len(p) != 2 || p[0].Kept != 1 || len(p[1].Banks) != 0 {
		t.Errorf("a site whose machines are down already has nothing to lose: %+v", p)
	}
}

// Whatever is asked of whatever fleet: nothing is refused where there is room, nothing of less worth for its work is carried while more is
// refused at the same place, none but what can't be carried at all is wholly starved, and a loss keeps no more than there was.
func TestPlansRefuseNoMoreThanNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"n", "s", "w"}[:rapid.IntRange(1, 3).Draw(t, "sites")]
		var in Input
		banks := rapid.IntRange(1, 3).Draw(t, "banks")
		for b := range banks {
			carry := rapid.Float64Range(0, 8).Draw(t, "carry") // of each member: where a stronger one follows a loss may keep more
			for i := range rapid.IntRange(1, 4).Draw(t, "members") {
				in.Members = append(in.Members, Member{ID: fmt.Sprint("m", b, i), Bank: int64(b), Primary: i == 0, Site: rapid.SampledFrom(names).Draw(t, "site"),
					Up: rapid.IntRange(0, 4).Draw(t, "up") > 0, Carry: carry})
			}
			for k := range rapid.IntRange(0, 4).Draw(t, "classes") {
				in.Demands = append(in.Demands, Demand{Class: fmt.Sprint("k", k), Bank: int64(b), Rate: rapid.Float64Range(0.1, 80).Draw(t, "rate"), Work: rapid.Float64Range(0.01, 0.3).Draw(t, "work"),
					Worth: rapid.Float64Range(0, 6).Draw(t, "worth"), Strong: rapid.Bool().Draw(t, "strong")})
			}
		}
		for _, l := range Make(in) {
			if l.Kept < -1e-9 || l.Kept > l.Now+1e-9 || l.Now > 1+1e-9 {
				t.Fatalf("%s keeps %v of %v", l.Site, l.Kept, l.Now)
			}
			for _, r := range l.Refused {
				i := slices.IndexFunc(in.Demands, func(d Demand) bool { return d.Bank == r.Bank && d.Class == r.Class })
				d := in.Demands[i]
				lead, capR, used := "", 0.0, 0.0
				for _, x := range in.Members {
					if x.Bank == r.Bank && x.Up && x.Site != l.Site && (lead == "" || x.Primary) {
						lead = x.ID
					}
				}
				capP := 0.0
				for _, x := range in.Members {
					switch {
					case x.Bank != r.Bank || !x.Up || x.Site == l.Site:
					case x.ID == lead:
						capP = x.Carry * full
					default:
						capR += x.Carry * full
					}
				}
				if r.Share < 0 || r.Share > 1+1e-9 || math.Abs(r.Rate-r.Share*d.Rate) > 1e-6 {
					t.Fatalf("%+v", r)
				}
				if lead == "" {
					continue
				}
				strong := 0.0
				for _, o := range in.Demands {
					if o.Bank != r.Bank {
						continue
					}
					share := 0.0
					for _, q := range l.Refused {
						if q.Bank == o.Bank && q.Class == o.Class {
							share = q.Share
						}
					}
					done := (1 - share) * o.Rate * o.Work
					if used += done; o.Strong {
						strong += done
					}
					if o.Strong == d.Strong && o.Worth/o.Work < d.Worth/d.Work && 1-share > keepShare+1e-6 {
						t.Fatalf("%s is carried to %v while %s is refused: %+v", o.Class, 1-share, d.Class, l.Refused)
					}
				}
				// Where something is refused the place is full.
				if d.Strong && strong < capP-1e-6 && used < capP+capR-1e-6 || !d.Strong && used < capP+capR-1e-6 {
					t.Fatalf("%+v is refused at %v of %v", r, used, capP+capR)
				}
			}
		}
	})
}

// The view that one of 300 routers has of 120 machines, 30 banks in 3 sites with 5 classes, is planned in under a millisecond.
func BenchmarkPlan(b *testing.B) {
	in := large()
	b.ReportAllocs()
	for b.Loop() {
		Make(in)
	}
}

// A look of the door at the same, and one request at it.
func BenchmarkDoor(b *testing.B) {
	in := large()
	b.Run("look", func(b *testing.B) {
		d, at := NewDoor(DoorConfig{}, 1), time.Second
		b.ReportAllocs()
		for b.Loop() {
			d.Look(at, true, func() Input { return in })
			at += doorTick
		}
	})
	b.Run("ask", func(b *testing.B) {
		d, at := NewDoor(DoorConfig{}, 1), time.Second
		for i := range in.Members {
			in.Members[i].Carry /= 4
		}
		steady(d, &at, true, in, 10*time.Second)
		if len(d.Shares()) == 0 {
			b.Fatal("nothing is refused")
		}
		b.ReportAllocs()
		for b.Loop() {
			d.Ask(Key{Class: "k1", Bank: 7})
		}
	})
}

// large is the view that one of 300 routers has of 120 machines.
func large() (in Input) {
	for bank := range 30 {
		for i := range 4 {
			in.Members = append(in.Members, Member{ID: fmt.Sprint("m", bank, i), Bank: int64(bank), Primary: i == 0, Site: []string{"n", "s", "w"}[(bank+i)%3], Up: true, Carry: 0.01})
		}
		for k := range 5 {
			in.Demands = append(in.Demands, Demand{Class: fmt.Sprint("k", k), Bank: int64(bank), Rate: 0.05, Work: 0.1, Worth: float64(k), Strong: k == 0})
		}
	}
	return in
}
