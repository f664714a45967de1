package settings

// checkTLS refuses an identity without one of its files.
func (d *decoder) checkTLS(tls *TLS) error {
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
			return d.fail(max(1, d.lines["tls"]), file.field, "nothing", `the name of a file, as tls.mode is "on"`)
		}
	}
	return nil
}
