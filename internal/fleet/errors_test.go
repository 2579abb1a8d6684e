package fleet

import (
	"errors"
	"testing"
)

// Each error has a remedy for operators.
func TestErrorsHaveARemedy(t *testing.T) {
	for _, err := range []error{&ZonesError{1}, &PinError{"x", []string{"a", "b"}}} {
		var remedied interface{ Remedy() string }
		if !errors.As(err, &remedied) || remedied.Remedy() == "" || err.Error() == "" {
			t.Errorf("%v has no remedy", err)
		}
	}
}
