package scenario

import (
	"fmt"
	"math"
	"time"

	"go.starlark.net/starlark"

	"limeladder/balance"
)

// field checks a value of a script and stores it in a setting.
type field func(value starlark.Value) error

// floatField accepts a finite number within bounds.
func floatField(to *float64, least, most float64) field {
	return func(value starlark.Value) error {
		number, ok := starlark.AsFloat(value)
		if !ok || math.IsNaN(number) || math.IsInf(number, 0) {
			return fmt.Errorf("%s is not a number", value)
		}
		if number < least || number > most {
			return fmt.Errorf("%v is not between %v and %v", number, least, most)
		}
		*to = number
		return nil
	}
}

// intField accepts an integer within bounds.
func intField(to *int, least, most int) field {
	return func(value starlark.Value) error {
		integer, ok := value.(starlark.Int)
		if !ok {
			return fmt.Errorf("%s is not an integer", value)
		}
		number, fits := integer.Int64()
		if !fits {
			return fmt.Errorf("%s is not an integer", value)
		}
		if number < int64(least) || number > int64(most) {
			return fmt.Errorf("%d is not between %d and %d", number, least, most)
		}
		*to = int(number)
		return nil
	}
}

func boolField(to *bool) field {
	return func(value starlark.Value) error {
		truth, ok := value.(starlark.Bool)
		if !ok {
			return fmt.Errorf("%s is neither True nor False", value)
		}
		*to = bool(truth)
		return nil
	}
}

// durationField accepts a number of units, up to a day.
func durationField(to *time.Duration, unit time.Duration) field {
	return func(value starlark.Value) error {
		number := 0.0
		if err := floatField(&number, 0, float64(24*time.Hour/unit))(value); err != nil {
			return err
		}
		*to = time.Duration(math.Round(number * float64(unit)))
		return nil
	}
}

// durationsField accepts a pair of the lower and the upper bound of a duration, or one number for both.
func durationsField(to *[2]time.Duration, unit time.Duration) field {
	return func(value starlark.Value) error {
		pair, ok := value.(starlark.Indexable)
		if !ok || pair.Len() != 2 {
			if err := durationField(&to[0], unit)(value); err != nil {
				return err
			}
			to[1] = to[0]
			return nil
		}
		for i := range 2 {
			if err := durationField(&to[i], unit)(pair.Index(i)); err != nil {
				return err
			}
		}
		if to[1] < to[0] {
			return fmt.Errorf("%s: upper bound below lower bound", value)
		}
		return nil
	}
}

func stringField(to *string) field {
	return func(value starlark.Value) error {
		text, ok := starlark.AsString(value)
		if !ok {
			return fmt.Errorf("%s is not a string", value)
		}
		*to = text
		return nil
	}
}

// stringsField accepts a list of strings or a single string.
func stringsField(to *[]string) field {
	return func(value starlark.Value) error {
		if text, ok := starlark.AsString(value); ok {
			*to = []string{text}
			return nil
		}
		sequence, ok := value.(starlark.Sequence)
		if !ok || sequence.Len() > maxItems {
			return fmt.Errorf("%s is not a list of strings, or has too many items", value.Type())
		}
		texts := []string{}
		iterator := sequence.Iterate()
		defer iterator.Done()
		var item starlark.Value
		for iterator.Next(&item) {
			text, ok := starlark.AsString(item)
			if !ok {
				return fmt.Errorf("%s is not a string", item)
			}
			texts = append(texts, text)
		}
		*to = texts
		return nil
	}
}

// freshnessCheckField accepts what endpoints do with a read that requires a newer position than theirs: "refuse" or
// "answer".
func freshnessCheckField(to *balance.FreshnessCheck) field {
	return func(value starlark.Value) error {
		var word string
		if err := stringField(&word)(value); err != nil {
			return err
		}
		switch word {
		case "refuse":
			*to = balance.FreshnessCheckReject
		case "answer":
			*to = balance.FreshnessCheckNone
		default:
			return fmt.Errorf("%s is neither refuse nor answer", word)
		}
		return nil
	}
}
