package audit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// finalLine returns the final line of a request that ended at a second of the log.
func finalLine(id string, second int, fields string) string {
	return fmt.Sprintf(`{"event":"request","time":"2026-08-01T10:00:%02dZ","node":"a","request":%q,"route":"r","goal_ms":300,"gap_goal_ms":250,%s}`, second, id, fields)
}

func grantedLine(id string, waited int) string {
	return fmt.Sprintf(`12.3 a {"event":"granted","time":"2026-08-01T10:00:01.000Z","node":"a","request":"%s/1","waited_ms":%d,"expected_ms":100}`, id, waited)
}

// Guards against losses that are counted under a wrong cause, or not at all.
func TestCauses(t *testing.T) {
	cases := map[string]struct {
		lines []string
		want  Cause
	}{
		"in time":         {[]string{finalLine("r", 2, `"status":200,"ms":900,"first_ms":200,"pause_ms":100`)}, InTime},
		"waited":          {[]string{grantedLine("r", 400), finalLine("r", 2, `"status":200,"ms":900,"first_ms":500,"pause_ms":100`)}, Waited},
		"slow prefill":    {[]string{grantedLine("r", 10), finalLine("r", 2, `"status":200,"ms":900,"first_ms":500,"pause_ms":100`)}, SlowPrefill},
		"paused":          {[]string{finalLine("r", 2, `"status":200,"ms":900,"first_ms":200,"pause_ms":300`)}, Paused},
		"slow answer":     {[]string{finalLine("r", 2, `"status":200,"ms":900`)}, SlowAnswer},
		"refused at once": {[]string{finalLine("r", 2, `"status":503,"outcome":"overloaded","ms":3`)}, RefusedAtOnce},
		"refused late":    {[]string{finalLine("r", 2, `"status":503,"outcome":"overloaded","ms":1500`)}, RefusedLate},
		"engine":          {[]string{finalLine("r", 2, `"status":502,"outcome":"upstream_lost","ms":90`)}, LostWithEngine},
		"time limit":      {[]string{finalLine("r", 2, `"status":504,"outcome":"time_limit_exceeded","ms":90`)}, TimeLimit},
		"caller left":     {[]string{finalLine("r", 2, `"status":499,"outcome":"canceled","ms":90`)}, CallerLeft},
		"unknown key":     {[]string{finalLine("r", 2, `"status":401,"outcome":"invalid_api_key","ms":0`)}, Denied},
		"engine's 404":    {[]string{finalLine("r", 2, `"status":404,"ms":20`)}, Denied},
		"engine's 500":    {[]string{finalLine("r", 2, `"status":500,"ms":20`)}, Failed},
		"host": {[]string{
			`{"event":"sent","time":"2026-08-01T10:00:01Z","node":"b","request":"lost","service":"s"}`,
			finalLine("r", 2, `"status":401,"outcome":"invalid_api_key","ms":0`),
		}, LostWithHost},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := New()
			require.NoError(t, a.Add(strings.NewReader(strings.Join(tc.lines, "\n"))))
			r, err := a.Report(time.Second)
			require.NoError(t, err)
			total := Counts{}
			for _, counts := range r.Routes {
				for c, n := range counts {
					total[c] += n
				}
			}
			require.Equal(t, 1, total[tc.want])
			var out strings.Builder
			require.NoError(t, r.Print(&out))
			require.Contains(t, out.String(), string(tc.want))
		})
	}
}

// Guards against requests in a wrong window, wrong waiting times by length, and logs
// without requests or with broken lines that are taken for an empty report.
func TestReport(t *testing.T) {
	a := New()
	log := []string{
		"not a line", grantedLine("r1", 50), grantedLine("r2", 250),
		finalLine("r1", 2, `"status":200,"ms":1000,"first_ms":250,"prompt":1000,"attempts":1`),
		finalLine("r2", 3, `"status":200,"ms":1800,"first_ms":200,"prompt":1500,"attempts":1`),
		finalLine("r3", 9, `"status":200,"ms":500,"first_ms":200,"prompt":900000`),
	}
	require.NoError(t, a.Add(strings.NewReader(strings.Join(log, "\n"))))
	r, err := a.Report(2 * time.Second)
	require.NoError(t, err)
	require.Equal(t, 6, r.LinesRead)
	require.Equal(t, 1, r.LinesUnreadable)
	require.Equal(t, map[int]Counts{0: {InTime: 2}, 4: {InTime: 1}}, r.ByWindow)
	require.Len(t, r.Lengths, 1)
	require.Equal(t, 2, r.Lengths[0].Requests)
	require.Equal(t, 250*time.Millisecond, r.Lengths[0].Waited[0])
	// Granted at 1.0 s, expected after 0.1 s: r1 came at 1.25 s, r2 at 1.4 s.
	require.Equal(t, 300*time.Millisecond, r.Lengths[0].EstimateError[1])

	empty := New()
	require.NoError(t, empty.Add(strings.NewReader("not a line\n")))
	_, err = empty.Report(time.Second)
	require.True(t, fault.Is(err, fault.NotFound))
	_, err = a.Report(0)
	require.True(t, fault.Is(err, fault.Invalid))
}
