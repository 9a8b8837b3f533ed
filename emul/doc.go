// Package emul is the root of the module with the stand-ins for engines, plain
// services and the platform, and with the load tool.
//
// cmd/vbstand runs a stand-in: vbstand engine, vbstand plain or vbstand
// platform, each with --help. Faults are injected into a running stand-in by
// POST /faults with the JSON form of fault.State. Package reply defines the text
// that an engine generates. cmd/vbload sends requests to entry hosts and checks
// the answers.
package emul
