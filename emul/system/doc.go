// Package system tests whole daemons against stand-ins for engines, plain
// upstreams and the platform. The tests run in virtual time over an in-memory
// network whose connections can be cut, silenced and frozen. The package contains
// only tests and is the only one that imports both the product and the stand-ins.
package system
