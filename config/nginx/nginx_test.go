package nginx

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wardtray/apierror"
)

func file(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "nginx.conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestImportGivesASpecAndListsTheRest(t *testing.T) {
	path := file(t, `worker_processes 4;
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
	made, notes, err := Import(path)
	if err != nil {
		t.Fatal(err)
	}
	if flaws := made.Check(); len(flaws) > 0 || len(made.Routes) != 2 || made.Routes[0].Name != "chat" || made.Routes[1].Name != "root" {
		t.Fatalf("%v %+v", flaws, made)
	}
	text := ""
	for _, note := range notes {
		text += note.String() + "\n"
	}
	for _, want := range []string{":1: no counterpart for: worker_processes 4", ":2: no counterpart for: events", ":5: no counterpart for: listen 80",
		":6: no counterpart for: proxy_set_header X-A b", ":8: no counterpart for: location /static", ":10: no counterpart for: least_conn", ":10: server 10.0.0.1:80 weight=5"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not among the notes:\n%s", want, text)
		}
	}
}

func TestBrokenFileGivesItsLineAndNothingElse(t *testing.T) {
	made, notes, err := Import(file(t, "http {\n  upstream a {\n    server 10.0.0.1:80\n  }\n}\n"))
	if made != nil || notes != nil || !apierror.Is(err, apierror.Malformed) || !strings.Contains(err.Error(), "nginx.conf:") {
		t.Fatalf("%v %v %v", made, notes, err)
	}
	if _, _, err := Import(file(t, "events {}\n")); !apierror.Is(err, apierror.InvalidSpec) {
		t.Fatal(err)
	}
}
