package config

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"
)

// FieldError is an error about a field of a configuration. Its text is one line.
type FieldError struct {
	File   string // path of the file; empty for EDGE_CONFIG, whose path the platform sets
	Field  string // name in the file or the environment; empty if the error is about the whole file
	Reason error
}

// Error implements error.
func (e *FieldError) Error() string {
	text := e.Reason.Error()
	if e.File == "" || e.Field != "" {
		text = e.Field + ": " + text
	}
	if e.File != "" {
		text = e.File + ": " + text
	}
	return text
}

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Reason }

var errMissing = errors.New("missing")

// fieldErrorf returns a *FieldError with a formatted reason.
func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Errorf(format, args...)}
}

// inFile adds the path of the file to a *FieldError. It wraps any other error in a *FieldError about the whole file.
func inFile(path string, err error) error {
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		return &FieldError{File: path, Field: fieldErr.Field, Reason: fieldErr.Reason}
	}
	return &FieldError{File: path, Reason: err}
}

// inObject prefixes the field of a *FieldError with parent, the path of the object that contains the field. It wraps
// any other error in a *FieldError about parent.
func inObject(parent string, err error) error {
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		return &FieldError{Field: parent + "." + fieldErr.Field, Reason: fieldErr.Reason}
	}
	return &FieldError{Field: parent, Reason: err}
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkRange returns an error if value is not between lowest and highest, both inclusive.
func checkRange[T int | int64](field string, value, lowest, highest T) error {
	if value < lowest || value > highest {
		return fieldErrorf(field, "%d is not between %d and %d", value, lowest, highest)
	}
	return nil
}

// checkOptionalRange is like checkRange, but accepts 0, which selects the default.
func checkOptionalRange(field string, value, lowest, highest int) error {
	if value == 0 {
		return nil
	}
	return checkRange(field, value, lowest, highest)
}

// checkDuration returns an error if value is negative or longer than highest. highestText is highest as the error text
// shows it.
func checkDuration(field string, value, highest time.Duration, highestText string) error {
	if value < 0 || value > highest {
		return fieldErrorf(field, "%v is not between 0s and %s", value, highestText)
	}
	return nil
}

// checkAddress returns an error if the value of a field is not of the form host:port.
func checkAddress(field, value string) error {
	if value == "" {
		return &FieldError{Field: field, Reason: errMissing}
	}
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		return &FieldError{Field: field, Reason: err}
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fieldErrorf(field, "%q is not a port number", port)
	}
	return nil
}
