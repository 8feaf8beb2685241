package openai

// ErrorBody is the body of every refusal and failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes the error. Type is the error type of the OpenAI API, Code
// this system's reason.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Outcome says whether the request ran: ran, not-run or may-have-run. It repeats the
	// header because the error of a stream comes after the headers.
	Outcome string `json:"outcome"`
}
