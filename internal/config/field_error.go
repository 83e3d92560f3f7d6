package config

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"
)

// FieldError says which field of a configuration can't be used, and why, in one line.
type FieldError struct {
	File   string // empty for EDGE_CONFIG, whose path the platform sets
	Field  string // as the file or the environment names it; empty if the file as a whole can't be read
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

// fieldErrorf returns a *FieldError for a field with a reason of the given format.
func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Errorf(format, args...)}
}

// inFile returns an error about a field as one about the same field of a file.
func inFile(path string, err error) error {
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		return &FieldError{File: path, Field: fieldErr.Field, Reason: fieldErr.Reason}
	}
	return &FieldError{File: path, Reason: err}
}

// inObject returns an error about a field as one about the same field of the object at parent.
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

// checkRange returns an error if a number does not lie between lowest and highest.
func checkRange[T int | int64](field string, value, lowest, highest T) error {
	if value < lowest || value > highest {
		return fieldErrorf(field, "%d does not lie between %d and %d", value, lowest, highest)
	}
	return nil
}

// checkOptionalRange does the same where 0 stands for the default.
func checkOptionalRange(field string, value, lowest, highest int) error {
	if value == 0 {
		return nil
	}
	return checkRange(field, value, lowest, highest)
}

// checkDuration returns an error if a time is negative or longer than highest, which operators read as highestText.
func checkDuration(field string, value, highest time.Duration, highestText string) error {
	if value < 0 || value > highest {
		return fieldErrorf(field, "%v does not lie between 0s and %s", value, highestText)
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
		return fieldErrorf(field, "%q is no port", port)
	}
	return nil
}
