package quota

import "golang.org/x/sync/semaphore"

const (
	// Answers of upstreams and those of the platform that are being read hold these shares
	// of the memory of a process above processMemory, but not less than minAnswers. The
	// two are apart so that upstreams in trouble keep no configuration out.
	upstreamShare = 0.0625
	platformShare = 0.25
	minAnswers    = 4 << 20
)

// UpstreamAnswers returns the bound on what answers of upstreams make a process hold apart
// from its requests: heads, events, replies to orders and queries. The memory is that of
// the machine for the process, in bytes.
func UpstreamAnswers(memory int64) *semaphore.Weighted { return answers(memory, upstreamShare) }

// PlatformAnswers is UpstreamAnswers for the answers of the platform.
func PlatformAnswers(memory int64) *semaphore.Weighted { return answers(memory, platformShare) }

func answers(memory int64, share float64) *semaphore.Weighted {
	return semaphore.NewWeighted(max(minAnswers, int64(share*float64(memory-processMemory))))
}
