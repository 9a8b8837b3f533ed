// Package emul is the root of the stand-ins for engines, plain services and
// the platform, and of the load tool.
//
// cmd/vbstand runs a stand-in: vbstand engine, vbstand plain or vbstand
// platform, each with --help. Every stand-in takes faults by POST /faults; the
// body is that of fault.State. Package reply defines the text that an engine
// generates. cmd/vbload sends requests to entry hosts and checks the answers.
package emul
