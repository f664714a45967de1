package settings

// validateTLS returns an error when TLS is on and one of its files is not named.
func (d *decoder) validateTLS(tls *TLS) error {
	if !tls.Enabled() {
		return nil
	}
	files := []struct{ field, name string }{
		{"tls.certificate", tls.Certificate},
		{"tls.key", tls.Key},
		{"tls.authority", tls.Authority},
	}
	for _, file := range files {
		if file.name == "" {
			return d.errorAt(max(1, d.lines["tls"]), file.field, "nothing", `the name of a file, because tls.mode is "on"`)
		}
	}
	return nil
}
