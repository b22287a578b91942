package admission

import (
	"github.com/mailru/easyjson"

	"wardtray/apierror"
	"wardtray/strictjson"
)

//go:generate go tool easyjson -disallow_unknown_fields -output_filename body_easyjson.go body.go

// Body is the JSON body of a request. Unknown fields are rejected.
//
//easyjson:json
type Body struct {
	// Prompt is the input text of the model; it must not be empty.
	Prompt string `json:"prompt"`
}

// checkBody validates the size and the JSON of a request body. The body itself is forwarded unchanged.
func checkBody(content []byte) error {
	if len(content) > MaximumBody {
		return apierror.New(apierror.TooLarge, "a body of %d bytes; at most %d", len(content), MaximumBody)
	}
	if err := strictjson.Check(content); err != nil {
		return err
	}
	body := &Body{}
	if err := easyjson.Unmarshal(content, body); err != nil {
		return apierror.New(apierror.Malformed, "body: %v", err)
	}
	if body.Prompt == "" {
		return apierror.New(apierror.Malformed, "body: prompt is missing or empty")
	}
	return nil
}
