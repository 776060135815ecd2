/** OpenAPI document, built from the schemas that validate requests. */
import { ChangeResult, kinds, Resource, specSchemas } from "@winchpath/declarations";
import { ChangeRequest, PutRequest, ResourceList, Status, WatchLine } from "./schemas.js";

const schemas = { ChangeRequest, ChangeResult, PutRequest, Resource, ResourceList, Status, WatchLine, ...specSchemas };

type SchemaName = keyof typeof schemas;

export function openApiDocument() {
    const kindParameter = pathParameter("kind", { enum: kinds.map(kind => `${kind.toLowerCase()}s`) });
    const nameParameter = pathParameter("name", {});
    return {
        openapi: "3.1.0",
        info: { title: "winchpath operators' interface", version: "1" },
        components: {
            schemas: JSON.parse(JSON.stringify(schemas)) as unknown,
            securitySchemes: { key: { type: "http", scheme: "bearer" } },
        },
        security: [{ key: [] }],
        paths: {
            "/apis/v1/{kind}": { get: operation("List declarations of a kind", "ResourceList", [kindParameter]) },
            "/apis/v1/{kind}/{name}": {
                get: operation("Read a declaration", "Resource", [kindParameter, nameParameter]),
                put: operation(
                    "Create or change a declaration",
                    "ChangeResult",
                    [kindParameter, nameParameter],
                    "PutRequest",
                ),
                delete: operation("Delete a declaration", "ChangeResult", [kindParameter, nameParameter]),
            },
            "/apis/v1/changes": {
                post: operation("Make a change of several declarations", "ChangeResult", [], "ChangeRequest"),
            },
            "/apis/v1/watch": { get: operation("Watch declarations, a JSON value a line", "WatchLine", []) },
            "/apis/v1/status": { get: operation("Read the status of everything", "Status", []) },
        },
    };
}

function operation(summary: string, response: SchemaName, parameters: unknown[], body?: SchemaName) {
    const content = (name: SchemaName) => ({
        "application/json": { schema: { $ref: `#/components/schemas/${name}` } },
    });
    return {
        summary,
        parameters,
        ...(body === undefined ? {} : { requestBody: { required: true, content: content(body) } }),
        responses: {
            200: { description: summary, content: content(response) },
            default: { description: "Problem details with issues" },
        },
    };
}

function pathParameter(name: string, schema: object) {
    return { name, in: "path", required: true, schema: { type: "string", ...schema } };
}
