//! Stand-ins for servers, clients and the operator, and the runs of the review's scripts.
//!
//! Uses the standard library only. `rig CASE FOLDER` runs one case and writes `FOLDER/record.txt`. It exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod bed;
mod leaving;
mod memory;
mod stop;

use std::process::exit;

use leaving::Trouble;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case.as_str() {
        "leaving" => bed::run(&folder, |bed| leaving::run(bed, Trouble::Kill, has_trouble)),
        "regained" => bed::run(&folder, |bed| {
            leaving::run(bed, Trouble::Reset, has_trouble)
        }),
        "stop" => bed::run(&folder, |bed| stop::run(bed, has_trouble)),
        "memory" => bed::run(&folder, |bed| memory::run(bed, has_trouble)),
        _ => Err(format!("unknown case {case}").into()),
    };
    match outcome {
        Ok(held) => {
            println!("{}", if held { "held" } else { "broken" });
            exit(i32::from(!held));
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    }
}
