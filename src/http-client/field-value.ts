/** Texts that may stand in a header field or a status line (RFC 9110, section 5.5); Node's HTTP client and server throw on others. */

/** Tabs, spaces, and visible or non-ASCII characters, one character a byte. */
const FIELD_CONTENT = /^[\t\x20-\x7e\x80-\xff]*$/;
const VISIBLE_ASCII = /^[\x20-\x7e]*$/;

/** Whether a text, with one character for each byte, may stand in a header field or be a reason phrase. */
export function isFieldContent(text: string): boolean {
  return FIELD_CONTENT.test(text);
}

/** Returns the text of a header field that holds a text in UTF-8; only valid if {@link isEncodable}. */
export function encodeFieldValue(text: string): string {
  return VISIBLE_ASCII.test(text) ? text : Buffer.from(text, 'utf8').toString('latin1');
}

/** Whether a receiver gets a text back unchanged: without control characters, and without blanks at its ends, which are stripped. */
export function isEncodable(text: string): boolean {
  return text.trim() === text && isFieldContent(encodeFieldValue(text));
}
