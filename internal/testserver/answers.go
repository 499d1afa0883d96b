package testserver

import "fmt"

// invalidStatuses are no status of an answer; 101 is none since no request asks for another protocol.
var invalidStatuses = []string{"000", "001", "099", "101", "600", "666", "999", "+20", "-00", " 20", "20 ", "2x0", "0x1", "20", "2000"}

// invalidStatusLines violate the grammar of the first line.
var invalidStatusLines = []string{
	"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.x 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "HTTP/1.1  200 OK",
	"HTTP/1.1\t200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 \x7f",
}

// invalidFields are lines of a head that are no field. Most of them hide the framing of the body.
var invalidFields = []string{
	"Content-Length : 5", "Content-Length\t: 5", "Content-Length\x00: 5", "Transfer-Encoding : chunked", "X Y: 1", "X\x01Y: 1",
	" X: 1", "\tX: 1", "X\x7f: 1", "X\xe4: 1", "X(Y): 1", "X\"Y: 1", "X@Y: 1", ": 1", "no colon", "X: 1\x00", "X: 1\x01", "X: 1\r2",
	"X: \x7f", "X\rY: 1", "\r", "X: 1\n \x01",
}

// BrokenAnswers returns answers that are none by the grammar of HTTP/1.1, by what is wrong in them.
// Each has the given header lines, and a body or an answer with it.
func BrokenAnswers(headers, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	withLength := headers + length + "\r\n" + body
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	sound := "HTTP/1.1 200 OK\r\n" + withLength
	all := map[string]string{}
	for _, status := range invalidStatuses {
		line := "HTTP/1.1 " + status + " OK\r\n"
		all["status "+status] = line + withLength
		all["status "+status+" before an answer"] = line + headers + "\r\n" + sound
	}
	for _, line := range invalidStatusLines {
		all[line] = line + "\r\n" + withLength
	}
	for _, line := range invalidFields {
		all[line+" first"] = "HTTP/1.1 200 OK\r\n" + line + "\r\n" + withLength
		all[line+" last"] = "HTTP/1.1 200 OK\r\n" + headers + line + "\r\n\r\n" + chunked
		all[line+" in an interim answer"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + sound
	}
	// RFC 9112, section 6.1: the framing of such an answer is faulty, whatever else it says.
	for _, more := range []string{"", length, "Content-Length: 15\r\n", "Connection: keep-alive\r\n"} {
		all["chunks of HTTP/1.0 "+more] = "HTTP/1.0 200 OK\r\n" + headers + more + "Transfer-Encoding: chunked\r\n\r\n" + chunked
	}
	return all
}
