package standincmd

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"coveferry/internal/standin/configsvc"
)

func TestPublishesNewAndChangedFilesOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	write := func(name, text string) {
		g.Expect(os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o755)).To(gomega.Succeed())
		g.Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644)).To(gomega.Succeed())
	}
	f := folderPublisher{dir: dir, service: configsvc.New(configsvc.Config{}), published: make(map[string]fileState)}
	get := func(key string) (string, string) {
		w := httptest.NewRecorder()
		f.service.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, configsvc.PathValues+key, nil))
		return w.Body.String(), w.Header().Get(configsvc.HeaderVersion)
	}
	write("signed-manifest.json", "one")
	write("sections/a.json", "a")
	write("signed-manifest.json.next", "half")
	for range 3 {
		g.Expect(f.publishChanged()).To(gomega.Succeed())
	}
	text, version := get("signed-manifest.json")
	g.Expect([]string{text, version}).To(gomega.Equal([]string{"one", "1"}))
	text, _ = get("sections/a.json")
	g.Expect(text).To(gomega.Equal("a"))
	_, version = get("signed-manifest.json.next")
	g.Expect(version).To(gomega.BeEmpty())
	write("signed-manifest.json", "the second")
	g.Expect(f.publishChanged()).To(gomega.Succeed())
	text, version = get("signed-manifest.json")
	g.Expect([]string{text, version}).To(gomega.Equal([]string{"the second", "2"}))
}
