// Package system tests whole daemons against the stand-ins in virtual time, on
// connections in memory that can be cut, silenced and frozen. It holds tests
// only, and is the one place that imports both the product and the stand-ins.
package system
