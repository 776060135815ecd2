/** Compares runs of a load pattern with and without a mechanism: `npm run experiment -- PATTERN --without NAME`. */
import yargs from "yargs";
import { compare } from "./experiments.js";
import { mechanisms } from "./mechanisms.js";
import { patterns } from "./patterns/index.js";

const argv = await yargs(process.argv.slice(2))
    .usage("$0 PATTERN --without NAME [--seeds N] [--json]")
    .command(
        "$0 <pattern>",
        "run a load pattern",
        command => command.positional("pattern", { choices: patterns.map(({ name }) => name), demandOption: true }),
    )
    .option("without", {
        choices: mechanisms,
        array: true,
        demandOption: true,
        describe: "mechanism to disable for the comparison",
    })
    .option("seeds", { type: "number", default: 50 })
    .option("json", { type: "boolean", default: false })
    .strict()
    .parseAsync();

const pattern = patterns.find(({ name }) => name === argv.pattern)!;
const comparison = await compare(pattern, new Set(argv.without), argv.seeds);
if (argv.json) {
    console.log(JSON.stringify(comparison));
}
else {
    const fractionDigits = 4;
    for (const { name, with: full, without, difference, low, high, spread } of comparison) {
        const [withText, withoutText, differenceText, lowText, highText, spreadText] = [
            full,
            without,
            difference,
            low,
            high,
            spread,
        ].map(value => value.toFixed(fractionDigits));
        console.log(
            `${name}: ${withText} with, ${withoutText} without; difference ${differenceText} (${lowText} to ${highText}), spread ${spreadText}`,
        );
    }
}
