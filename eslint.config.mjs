import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["target/**", "**/dist/**", "**/node_modules/**", "**/gen/**"] },
    ...tseslint.configs.recommended,
    {
        rules: {
            "curly": "error",
            "eqeqeq": "error",
            "no-throw-literal": "error",
            "prefer-const": "error",
            "max-lines": ["error", { max: 420, skipBlankLines: true, skipComments: true }],
            "no-restricted-syntax": ["error", {
                selector: "Literal[raw='null']",
                message: "Use undefined, as the coding guidelines ask.",
            }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/naming-convention": ["error", {
                selector: "typeLike",
                format: ["PascalCase"],
            }],
        },
    },
);
