// Package confd defines the operators' configuration document: its types, its
// rules and defaults, the JSON schema, the comparison of two documents, and
// the parts in which a document is stored and distributed.
package confd
