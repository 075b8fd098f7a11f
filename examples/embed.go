// Package examples embeds the settings of the two deployments.
package examples

import _ "embed"

// Workshop is the operators' tree of the workshop in YAML.
//
//go:embed workshop/settings.yaml
var Workshop []byte

// Association is the operators' tree of the association in YAML.
//
//go:embed association/settings.yaml
var Association []byte
