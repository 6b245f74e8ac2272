package examplecmd

import "text/template"

// bundleTemplate is the template of the example's bundle. Its data is a deployment.
var bundleTemplate = template.Must(template.New("bundle").Parse(`// The bundle of the example deployment. After a change, raise the version and
// sign it again: coveferryctl bundle sign bundle.jsonc --key signing.key
{
  "format": 1,
  "version": 1,
  "issued": "{{.Issued}}",
  "expires": "{{.Expires}}",
  "tiers": [{"name": "gold"}, {"name": "standard"}],
  "classes": [
    {"name": "queries", "first_token": "760ms", "between_tokens": "77ms", "deadline": "1m"},
    {"name": "reviews", "first_token": "30s", "deadline": "15m"},
  ],
  "models": [{"name": "stand-in"}],
  "teams": [
    {
      "name": "example",
      "key_hashes": ["{{.KeyHash}}"], // of the key {{.Key}}
      "grants": [{"class": "queries", "tier": "gold"}, {"class": "reviews", "tier": "standard"}],
    },
  ],
  "endpoints": [
{{- range .Agents}}
    {
      "name": "{{.Name}}", "address": "{{.Listen}}", "control_address": "{{.Control}}", "vm": "vm-{{.Name}}",
      "failure_domain": "{{.FailureDomain}}", "region": "local", "models": ["stand-in"], "slots": 8,
    },
{{- end}}
  ],
  "routers": [
{{- range .Routers}}
    {"name": "{{.Name}}", "control_address": "{{.Control}}", "failure_domain": "{{.FailureDomain}}", "region": "local"},
{{- end}}
  ],
  "limits": {"request_bytes": "1MiB", "queue_entries": 256, "queue_bytes": "32MiB"},
}
`))

// settingsTemplate is the template of a process's settings; other keys have defaults.
var settingsTemplate = template.Must(template.New("settings").Parse(`{
  "role": "{{.Role}}",
  "listen": "{{.Listen}}",
  "control_listen": "{{.Control}}",
  "metrics_listen": "{{.Metrics}}",
  "vm": "vm-{{.Name}}",
  "failure_domain": "{{.FailureDomain}}",
  "region": "local",
  "bundle_file": "bundle.jsonc",
  "config_service": ["{{.ConfigService}}"],
  "trust": {
    "bundle_keys": ["{{.BundleKey}}"],
    "ca_file": "authority.crt",
    "cert_file": "{{.Name}}.crt",
    "key_file": "{{.Name}}.key",
  },
{{- if .Engine}}
  "endpoint": "{{.Name}}",
  "engine": {"url": "{{.Engine}}", "priorities": true, "resume": true},
{{- else}}
  "shutdown": {"balancer_grace": "1s", "streams_grace": "10m"},
{{- end}}
  "log": {"level": "info", "format": "console"},
}
`))
