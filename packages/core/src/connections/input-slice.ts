/** Cuts what a connection has received into parts of bounded work for the HTTP parser. */

/**
 * Lines of one part. A head of usual length has fewer; chunks take two each, however small they
 * are.
 */
const maxSliceLines = 64;

/** Lines that cost as much as the request that begins with a head. */
const linesPerRequest = 64;

/** Bytes that cost as much as a line. */
const bytesPerLine = 1_024;

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** A part of what was received. */
export interface InputSlice {
  readonly length: number;
  /** Work of the parser, and of the request that begins, in lines. */
  readonly cost: number;
}

/** Returns the bytes of an empty line that begins at the position; 0 if there is none. */
const countEmptyLineBytes = (bytes: Buffer, position: number): number => {
  if (bytes[position] === lineFeed) return 1;
  const isEmpty =
    bytes[position] === carriageReturn && bytes[position + 1] === lineFeed;
  return isEmpty ? 2 : 0;
};

const createSlice = (length: number, lines: number): InputSlice => ({
  length,
  cost: lines + Math.ceil(length / bytesPerLine),
});

/**
 * Returns the first part of the bytes. It ends with a head, so that at most one request begins
 * in it (two if the last head was received in parts), or after a number of lines.
 */
export const measureSlice = (bytes: Buffer): InputSlice => {
  let end = 0;
  for (let lines = 1; lines <= maxSliceLines; lines += 1) {
    const lineEnd = bytes.indexOf(lineFeed, end);
    if (lineEnd === -1) return createSlice(bytes.length, lines);
    end = lineEnd + 1;
    const emptyLineBytes = countEmptyLineBytes(bytes, end);
    if (emptyLineBytes > 0)
      return createSlice(end + emptyLineBytes, lines + linesPerRequest);
  }
  return createSlice(end, maxSliceLines);
};
