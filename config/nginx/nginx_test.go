package nginx

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wardtray/apierror"
)

// writeConfig writes an nginx configuration and returns its path.
func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "nginx.conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestImportReturnsADocumentAndNotesTheRest(t *testing.T) {
	path := writeConfig(t, `worker_processes 4;
events { worker_connections 64; }
http {
  server {
    listen 80;
    location /chat/ { proxy_pass http://booking; proxy_read_timeout 20s; proxy_set_header X-A b; }
    location / { proxy_pass http://booking/v1; }
    location /static { root /srv; }
  }
  upstream booking { least_conn; server 10.0.0.1:80 weight=5; server 10.0.0.2:80; }
}
`)
	spec, notes, err := Import(path)
	if err != nil {
		t.Fatal(err)
	}
	if problems := spec.Check(); len(problems) > 0 {
		t.Fatalf("%v in %+v", problems, spec)
	}
	if len(spec.Routes) != 2 || spec.Routes[0].Name != "chat" || spec.Routes[1].Name != "root" {
		t.Fatalf("routes %+v", spec.Routes)
	}
	var text strings.Builder
	for _, note := range notes {
		text.WriteString(note.String() + "\n")
	}
	for _, want := range []string{
		":1: no counterpart for: worker_processes 4",
		":2: no counterpart for: events",
		":5: no counterpart for: listen 80",
		":6: no counterpart for: proxy_set_header X-A b",
		":8: no counterpart for: location /static",
		":10: no counterpart for: least_conn",
		":10: server 10.0.0.1:80 weight=5",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is not among the notes:\n%s", want, text.String())
		}
	}
}

func TestImportOfAnInvalidFile(t *testing.T) {
	spec, notes, err := Import(writeConfig(t, "http {\n  upstream a {\n    server 10.0.0.1:80\n  }\n}\n"))
	if spec != nil || notes != nil {
		t.Fatalf("%v %v", spec, notes)
	}
	if !apierror.Is(err, apierror.Malformed) || !strings.Contains(err.Error(), "nginx.conf:") {
		t.Fatal(err)
	}
	if _, _, err := Import(writeConfig(t, "events {}\n")); !apierror.Is(err, apierror.InvalidSpec) {
		t.Fatal(err)
	}
}

func TestUniqueName(t *testing.T) {
	taken := map[string]bool{}
	for _, test := range []struct{ text, want string }{
		{"/chat/", "chat"}, {"/Chat", "chat-2"}, {"/", "root"}, {"~ \\.php$", "php"}, {"a_b", "a-b"},
		{strings.Repeat("x", maximumName+1), strings.Repeat("x", maximumName)},
	} {
		if got := uniqueName(test.text, taken); got != test.want {
			t.Errorf("%q becomes %q instead of %q", test.text, got, test.want)
		}
	}
}
