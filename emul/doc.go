// Package emul is the root of the stand-ins for engines, plain services and
// the platform, and of the load tool.
package emul
