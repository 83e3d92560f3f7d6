package sites

// Uses are what machines tell of their own use in reports. A machine that does so much for this router, and is so busy with all of them, can do
// as much more for it as it has left: the routers' parts are alike in the mean.
type Uses struct {
	told map[string]*use
	all  use
}

// use is what reports have told, in moving means: of the quotient of two noisy figures the mean would be far too high.
type use struct {
	rate, part float64
	n          int
}

func (u *use) add(rate, part float64) {
	w := max(useWeight, 1/float64(u.n+1))
	u.rate, u.part, u.n = u.rate+w*(rate-u.rate), u.part+w*(part-u.part), u.n+1
}

func (u *use) carry() (carry float64, told bool) {
	if u.n < useLeast || u.part < useNoise || u.rate <= 0 {
		return 0, false
	}
	return u.rate / min(1, u.part), true
}

const (
	useWeight = 0.1  // of a new report
	useLeast  = 8    // reports from which on they tell something
	useNoise  = 0.02 // a use below this tells nothing
	useMost   = 4096 // machines
)

// Told takes a report: rate is what the machine does for this router, in seconds of work a second, part what all its work takes of it.
func (u *Uses) Told(machine string, rate, part float64) {
	u.all.add(rate, part)
	x := u.told[machine]
	if x == nil {
		if len(u.told) >= useMost {
			return
		}
		if u.told == nil {
			u.told = map[string]*use{}
		}
		x = &use{}
		u.told[machine] = x
	}
	x.add(rate, part)
}

// Carry is what a machine can do for this router, in seconds of work a second: by its own reports, or by those of all while it has told
// little. told is false where nothing is known.
func (u *Uses) Carry(machine string) (carry float64, told bool) {
	if x := u.told[machine]; x != nil {
		if carry, told = x.carry(); told {
			return carry, true
		}
	}
	return u.all.carry()
}

// Forget drops machines that are not kept.
func (u *Uses) Forget(keep func(machine string) bool) {
	for id := range u.told {
		if !keep(id) {
			delete(u.told, id)
		}
	}
}
