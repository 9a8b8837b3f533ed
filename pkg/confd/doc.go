// Package confd defines the operators' configuration document.
package confd
