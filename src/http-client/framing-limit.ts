/**
 * Limit on the bytes around the content of a chunked message: sizes of chunks, their extensions, line ends and trailers. Parsers read
 * these without handing them on, so that no limit on the content bounds them.
 */

/** Bytes that a message of any size may have. */
const FREE_FRAMING_BYTES = 64 * 1024;
/** Bytes for each byte of content: the size of a chunk of one byte may be padded to eight digits. */
const FRAMING_BYTES_PER_CONTENT_BYTE = 16;
/** Bytes from which on there may be no more of them than of content. */
const DENSE_FRAMING_BYTES = 1024 * 1024;

/** Returns how many bytes may surround the given amount of content. */
export function maximumFramingBytes(contentBytes: number): number {
  const relativeBytes = Math.min(
    contentBytes * FRAMING_BYTES_PER_CONTENT_BYTE,
    DENSE_FRAMING_BYTES + contentBytes,
  );
  return FREE_FRAMING_BYTES + relativeBytes;
}
