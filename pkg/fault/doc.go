// Package fault defines the closed list of error kinds of verbenapier and the
// table that maps each kind to the answer a caller receives.
package fault
