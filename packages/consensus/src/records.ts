/**
 * Framing of records in the log file: magic bytes, length, CRC-32 checksum, message.
 * Numbers are 32-bit little-endian.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Failure, FailureCode } from "@winchpath/core";
import { crc32 } from "node:zlib";
import { type LogRecord, LogRecordSchema } from "./gen/winchpath/consensus/v1/consensus_pb.js";

const magic = Buffer.from("WPR1");
const lengthOffset = magic.length;
const checksumOffset = lengthOffset + 4;
const headerBytes = checksumOffset + 4;

/** Records decoded from a log file. */
export interface DecodedRecords {
    readonly records: LogRecord[];
    /** Length of the valid prefix; the rest is an incomplete write and must be truncated. */
    readonly validBytes: number;
}

/** Encodes records as one buffer. */
export function encodeRecords(records: readonly LogRecord[]): Buffer {
    return Buffer.concat(records.flatMap(record => {
        const body = toBinary(LogRecordSchema, record);
        const header = Buffer.alloc(headerBytes);
        magic.copy(header);
        header.writeUInt32LE(body.length, lengthOffset);
        header.writeUInt32LE(crc32(body), checksumOffset);
        return [header, body];
    }));
}

/**
 * Decodes records and ignores an incomplete one at the end of the file. Throws `corrupt-log` if
 * valid records follow an invalid one, since truncating there would lose acknowledged entries.
 */
export function decodeRecords(bytes: Buffer, file: string): DecodedRecords {
    const records: LogRecord[] = [];
    let offset = 0;
    while (offset < bytes.length) {
        const body = readBody(bytes, offset);
        if (body === undefined) {
            rejectCorruption(bytes, offset, file);
            break;
        }
        records.push(fromBinary(LogRecordSchema, body));
        offset += headerBytes + body.length;
    }
    return { records, validBytes: offset };
}

/** Creates a record message from one of its variants. */
export function createRecord(record: LogRecord["record"]): LogRecord {
    return create(LogRecordSchema, { record });
}

function rejectCorruption(bytes: Buffer, badOffset: number, file: string): void {
    let next = bytes.indexOf(magic, badOffset + 1);
    while (next !== -1) {
        if (readBody(bytes, next) !== undefined) {
            throw Failure.of(
                FailureCode.corruptLog,
                `bad record at byte ${badOffset}, before a valid one at byte ${next}; replace this host's data folder`,
                [file],
            );
        }
        next = bytes.indexOf(magic, next + 1);
    }
}

function readBody(bytes: Buffer, offset: number): Buffer | undefined {
    if (bytes.length < offset + headerBytes || !bytes.subarray(offset, offset + magic.length).equals(magic)) {
        return undefined;
    }
    const length = bytes.readUInt32LE(offset + lengthOffset);
    const start = offset + headerBytes;
    const body = bytes.subarray(start, start + length);
    const isValid = body.length === length && crc32(body) === bytes.readUInt32LE(offset + checksumOffset);
    return isValid ? body : undefined;
}
