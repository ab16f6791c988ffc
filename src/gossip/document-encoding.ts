/**
 * Encodes documents that many peers read, such as a configuration of many routes: each only once, and
 * compressed. Handles a change of a large configuration in a large fleet, whose small instances would
 * otherwise fill their links with copies of it for seconds.
 */
import { promisify } from 'node:util';
import { gunzip, gzip } from 'node:zlib';

/** Smaller documents cost less to send than to compress. */
const MINIMUM_COMPRESSED_BYTES = 65_536;
const MAXIMUM_DOCUMENT_BYTES = 16 * 1024 * 1024;
export const COMPRESSED_ENCODING = 'gzip';

/** A document as it is sent. */
export interface EncodedDocument {
  readonly body: Buffer;
  /** The content encoding; undefined for plain JSON. */
  readonly encoding: string | undefined;
}

const encodeCompressed = promisify(gzip);
const decodeCompressed = promisify(gunzip);

/** The encoded forms of each document, as long as the document itself is in use. */
const encodedDocuments = new WeakMap<object, Promise<EncodedDocument>>();

async function compress(document: unknown): Promise<EncodedDocument> {
  const plain = Buffer.from(JSON.stringify(document));
  if (plain.length < MINIMUM_COMPRESSED_BYTES) return { body: plain, encoding: undefined };
  return { body: await encodeCompressed(plain), encoding: COMPRESSED_ENCODING };
}

/**
 * Encodes a document for a peer.
 *
 * @param document - A value that JSON can express; an object is encoded once and must not change.
 * @param acceptedEncodings - The peer's Accept-Encoding header.
 * @returns What to send.
 */
export async function encodeDocument(
  document: unknown,
  acceptedEncodings: string | undefined,
): Promise<EncodedDocument> {
  if (
    !acceptedEncodings?.includes(COMPRESSED_ENCODING) ||
    typeof document !== 'object' ||
    !document
  )
    return { body: Buffer.from(JSON.stringify(document)), encoding: undefined };
  const encoded = encodedDocuments.get(document) ?? compress(document);
  encodedDocuments.set(document, encoded);
  return encoded;
}

/**
 * Decodes a document that a peer has sent.
 *
 * @param encoded - The body and its content encoding.
 * @returns The document.
 * @throws Error when the body is not JSON, or decodes to more than 16 MiB.
 */
export async function decodeDocument({ body, encoding }: EncodedDocument): Promise<unknown> {
  const plain =
    encoding === COMPRESSED_ENCODING
      ? await decodeCompressed(body, { maxOutputLength: MAXIMUM_DOCUMENT_BYTES })
      : body;
  return JSON.parse(plain.toString());
}
