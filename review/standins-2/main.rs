//! Stand-ins for the cases of this review: `standins CASE FOLDER` plays one and writes FOLDER/record.txt.

mod cases;
mod deployment;
mod http;
mod json;
mod node;
mod record;
mod store;
mod worker;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(2);
    };
    let record = record::Record::create(&Path::new(folder).join("record.txt"));
    // The disruption of the case is left out with TROUBLE=0.
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = cases::play(case, &record, has_trouble);
    let (code, text) = match &verdict {
        cases::Verdict::Held(text) => (0, format!("the rule held: {text}")),
        cases::Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        cases::Verdict::Unplayed(text) => (2, format!("the case couldn't run: {text}")),
    };
    record.add(&text);
    println!("{text}");
    std::process::exit(code);
}
