package upstream

import (
	"context"
	"fmt"
)

type admissionKey struct{}

// WithAdmission returns a context whose calls are checked by admit right before their first byte is
// sent: after the wait for a connection, a request may not be allowed any more.
func WithAdmission(ctx context.Context, admit func() error) context.Context {
	return context.WithValue(ctx, admissionKey{}, admit)
}

// CheckAdmission is called by adapters right before the first byte. Its error matches
// ErrNotAdmitted.
func CheckAdmission(ctx context.Context) error {
	admit, ok := ctx.Value(admissionKey{}).(func() error)
	if !ok {
		return nil
	}
	if err := admit(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotAdmitted, err)
	}
	return nil
}
