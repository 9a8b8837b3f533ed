// Package queue holds generic containers for schedulers.
package queue
