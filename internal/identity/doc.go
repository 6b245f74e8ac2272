// Package identity authenticates the system's own processes to each other. Every
// process has a certificate whose URI holds its role and name, such as
// coveferry://agent/doc-review-3. Both sides of a connection verify it over mutual
// TLS 1.3. Host names are not used, because processes connect by IP address.
package identity
