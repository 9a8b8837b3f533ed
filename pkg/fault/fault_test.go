package fault

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a kind without an answer, a code used twice, and an answer
// that tells a caller to resend a request that is known to have run.
func TestAnswerTable(t *testing.T) {
	seen := map[string]Kind{}
	for _, k := range Kinds() {
		a := k.Answer()
		require.NotEmpty(t, a.Code, "kind %d", k)
		require.NotEmpty(t, a.Meaning, a.Code)
		require.Contains(t, []RunState{RunNo, RunYes, RunUnknown}, a.Run, a.Code)
		require.GreaterOrEqual(t, a.Status, http.StatusBadRequest, a.Code)
		require.NotContains(t, seen, a.Code)
		seen[a.Code] = k
		require.False(t, a.Run == RunYes && a.Resend, "%s: a request that ran must not be resent", a.Code)

		parsed, ok := ParseKind(a.Code)
		require.True(t, ok)
		require.Equal(t, k, parsed)
	}
	require.Equal(t, Internal.Answer(), Kind(-1).Answer())
	require.Equal(t, Internal.Answer(), kindCount.Answer())
}

// Guards against a kind that is lost when the error is wrapped.
func TestKindOf(t *testing.T) {
	base := New(Overloaded, "cell %s is full", "a/1")
	cases := map[string]struct {
		err  error
		want Kind
	}{
		"plain":    {errors.New("x"), Internal},
		"kind":     {base, Overloaded},
		"wrapped":  {fmt.Errorf("acquire: %w", base), Overloaded},
		"new kind": {Wrap(UpstreamRefused, base, "refused"), UpstreamRefused},
		"deadline": {context.DeadlineExceeded, Timeout},
		"canceled": {fmt.Errorf("read: %w", context.Canceled), Canceled},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, KindOf(tc.err))
			require.True(t, Is(tc.err, tc.want))
		})
	}
	require.NoError(t, Wrap(UpstreamRefused, nil, "nothing"))
	require.Equal(t, "cell a/1 is full", MessageOf(fmt.Errorf("x: %w", base)))
}
