// Package examples embeds the settings trees of the two example deployments.
package examples

import _ "embed"

// WorkshopSettings is the settings tree of the workshop deployment in YAML.
//
//go:embed workshop/settings.yaml
var WorkshopSettings []byte

// AssociationSettings is the settings tree of the association deployment in YAML.
//
//go:embed association/settings.yaml
var AssociationSettings []byte
