/**
 * The framing of records in the log file: magic, length, checksum, message.
 * All numbers are little endian, 32 bits.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Failure, FailureCode } from "@winchpath/core";
import { crc32 } from "node:zlib";
import { type LogRecord, LogRecordSchema } from "./gen/winchpath/consensus/v1/consensus_pb.js";

const magic = Buffer.from("WPR1");
const lengthOffset = magic.length;
const checksumOffset = lengthOffset + 4;
const headerBytes = checksumOffset + 4;

/** What a log file held, and how many bytes of it are sound. */
export interface DecodedRecords {
    readonly records: LogRecord[];
    /** The file is to be cut here: what follows was never wholly written. */
    readonly soundBytes: number;
}

/** Frames records for one write. */
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
 * Reads records back. A torn tail is left out. A bad record with a sound one
 * behind it is damage, not a torn write: `corrupt-log` is thrown, since cutting
 * there would forget what was acknowledged.
 */
export function decodeRecords(bytes: Buffer, file: string): DecodedRecords {
    const records: LogRecord[] = [];
    let offset = 0;
    while (offset < bytes.length) {
        const body = bodyAt(bytes, offset);
        if (body === undefined) {
            refuseDamage(bytes, offset, file);
            break;
        }
        records.push(fromBinary(LogRecordSchema, body));
        offset += headerBytes + body.length;
    }
    return { records, soundBytes: offset };
}

/** A record message from one of its variants. */
export function recordOf(record: LogRecord["record"]): LogRecord {
    return create(LogRecordSchema, { record });
}

function refuseDamage(bytes: Buffer, badOffset: number, file: string): void {
    let next = bytes.indexOf(magic, badOffset + 1);
    while (next !== -1) {
        if (bodyAt(bytes, next) !== undefined) {
            throw Failure.of(
                FailureCode.corruptLog,
                `bad record at byte ${badOffset}, with a sound one at byte ${next}; replace this host's data folder`,
                [file],
            );
        }
        next = bytes.indexOf(magic, next + 1);
    }
}

function bodyAt(bytes: Buffer, offset: number): Buffer | undefined {
    if (bytes.length < offset + headerBytes || !bytes.subarray(offset, offset + magic.length).equals(magic)) {
        return undefined;
    }
    const length = bytes.readUInt32LE(offset + lengthOffset);
    const start = offset + headerBytes;
    const body = bytes.subarray(start, start + length);
    const sound = body.length === length && crc32(body) === bytes.readUInt32LE(offset + checksumOffset);
    return sound ? body : undefined;
}
