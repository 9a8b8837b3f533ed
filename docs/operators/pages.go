// Package pages embeds the operators' pages, so that verbenapierctl can print
// them on a host without the source.
package pages

import "embed"

// Files holds the pages. The name of a page is its topic and ".md".
//
//go:embed *.md
var Files embed.FS
