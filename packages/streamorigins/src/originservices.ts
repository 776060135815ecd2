/** RPC service of a member's records. */
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { type StreamOriginService } from "./gen/winchpath/streamorigins/v1/streamorigins_pb.js";
import { maxVersionLength, type OriginRecordStore } from "./originrecordstores.js";
import { keyBytes, splitKeys } from "./streamkeys.js";

/** Largest number of records or keys in a message. */
export const maxBatchSize = 1000;

export function streamOriginService(store: OriginRecordStore): ServiceImpl<typeof StreamOriginService> {
    return {
        record: ({ versions }) => {
            const joinedBytes = versions.reduce((sum, { keys }) => sum + keys.length, 0);
            require(joinedBytes <= maxBatchSize * keyBytes, "too many records");
            require(versions.every(({ keys }) => keys.length % keyBytes === 0), "a key has the wrong length");
            require(versions.every(rec => rec.softwareVersion.length <= maxVersionLength), "a version is too long");
            for (const { softwareVersion, keys } of versions) {
                splitKeys(keys).forEach(key => store.record({ key, softwareVersion }));
            }
            return { storeId: store.id };
        },
        find: ({ keys }) => {
            require(keys.length <= maxBatchSize, "too many keys");
            require(keys.every(key => key.length === keyBytes), "a key has the wrong length");
            return { origins: keys.map(key => ({ softwareVersion: store.find(key) })) };
        },
    };
}

function require(condition: boolean, message: string): void {
    if (!condition) {
        throw new ConnectError(message, Code.InvalidArgument);
    }
}
