// Package queue provides generic containers for schedulers: a binary heap and
// a weighted fair queue.
package queue
