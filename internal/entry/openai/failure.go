package openai

// ErrorBody is the form of every refusal and failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong. Type is the class of the failure as the
// OpenAI interface names it, Code the system's own reason.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Outcome says whether the request ran: ran, not-run or may-have-run. It
	// stands in the body too, as a stream's error comes after the headers.
	Outcome string `json:"outcome"`
}
