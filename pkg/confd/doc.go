// Package confd defines the configuration document that operators write: its
// types, its validation rules and defaults, its JSON schema, the comparison of
// two documents, and the parts in which a document is stored and distributed.
package confd
